// Common functions of the stand-ins: delays, and the parser of `POST /fault`.
#ifndef MANGOVANE_STANDIN_SUPPORT_HPP
#define MANGOVANE_STANDIN_SUPPORT_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane::standin
{

boost::asio::awaitable<void> pause_for(milliseconds time);

/// Name of a fault in `POST /fault` and its member.
template <class Faults>
struct fault_entry
{
    std::string_view name;
    std::variant<bool Faults::*, std::uint32_t Faults::*> member;
};

/// Assigns the JSON value, which has to be a bool or a non-negative number. Throws otherwise.
inline void set_fault(bool& member, const boost::json::value& value)
{
    member = value.as_bool();
}

inline void set_fault(std::uint32_t& member, const boost::json::value& value)
{
    member = value.to_number<std::uint32_t>();
}

/// Sets the faults in the JSON object. Returns false, without a change, if the text is malformed or
/// has an unknown name.
template <class Faults>
bool change_faults(Faults& faults,
                   std::span<const fault_entry<Faults>> entries,
                   const std::string& text)
{
    try
    {
        Faults changed = faults;
        std::size_t n = 0;
        const auto value = boost::json::parse(text);
        const auto& obj = value.as_object();
        for (const auto& it : entries)
        {
            if (const auto* found = obj.if_contains({it.name.data(), it.name.size()}))
            {
                std::visit([&](auto member) { set_fault(changed.*member, *found); }, it.member);
                ++n;
            }
        }
        if (n != obj.size())
        {
            return false;
        }
        faults = changed;
        return true;
    }
    catch (const std::exception&)
    {
        return false;
    }
}

} // namespace mangovane::standin

#endif
