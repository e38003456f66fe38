// Implementation of the compact head.
#include "mangovane/net/held_head.hpp"

#include <string_view>

namespace mangovane
{

namespace http = boost::beast::http;

held_head::held_head(const request_head& head)
    : method_{head.method_string()}, target_{head.target()}
{
    constexpr std::size_t separators = 2;
    std::size_t size = 0;
    for (const auto& it : head)
    {
        size += it.name_string().size() + it.value().size() + separators;
    }
    fields_.reserve(size);
    for (const auto& it : head)
    {
        fields_.append(it.name_string()).append(1, ':').append(it.value()).append(1, '\n');
    }
}

held_head::request_head held_head::expand() const
{
    request_head result;
    result.method_string(method_);
    result.target(target_);
    std::string_view rest{fields_};
    while (!rest.empty())
    {
        // A name has no colon and a value no line feed.
        const auto line = rest.substr(0, rest.find('\n'));
        const auto colon = line.find(':');
        const auto name = line.substr(0, colon);
        const auto value = line.substr(colon + 1);
        result.insert({name.data(), name.size()}, {value.data(), value.size()});
        rest.remove_prefix(line.size() + 1);
    }
    return result;
}

http::verb held_head::method() const
{
    return http::string_to_verb(method_);
}

} // namespace mangovane
