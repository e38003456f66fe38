// Settings parser: guards against crashes, errors reported at lines outside the text, and a text
// that passes the check but cannot be applied.
#include <algorithm>

#include "fuzz.hpp"
#include "mangovane/settings/check.hpp"
#include "mangovane/settings/parse.hpp"

using namespace mangovane;

namespace
{

void check_lines(const checked_settings& checked, const std::string& text)
{
    const auto lines = 1 + std::count(text.begin(), text.end(), '\n');
    for (const auto& it : checked.errors)
    {
        fuzz::require(it.line >= 1 && it.line <= lines);
    }
}

void check_effective(const settings_tree& tree)
{
    for (const auto& it : tree.nodes)
    {
        fuzz::require(!effective_settings(tree, it.path).empty());
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto text = fuzz::text_of(data, size);
    const auto checked = check_settings(text);
    check_lines(checked, text);
    const auto parsed = parse_settings(text, 1);
    if (checked.valid())
    {
        fuzz::require(parsed.ok() && (*parsed)->text == text);
        check_effective(checked.tree);
    }
    return 0;
}
