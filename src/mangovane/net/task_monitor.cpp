// Implementation of the task monitor.
#include "mangovane/net/task_monitor.hpp"

#include <string>

namespace mangovane
{

namespace
{

std::string text_of(const std::exception_ptr& error)
{
    try
    {
        std::rethrow_exception(error);
    }
    catch (const std::exception& ex)
    {
        return ex.what();
    }
    catch (...)
    {
        return "unknown exception";
    }
}

} // namespace

void task_monitor::report(std::string_view task, const std::exception_ptr& error)
{
    ++failures_;
    if (handler_)
    {
        handler_(task, text_of(error));
    }
}

task_monitor& task_monitor_of(boost::asio::execution_context& context)
{
    return boost::asio::use_service<task_monitor>(context);
}

} // namespace mangovane
