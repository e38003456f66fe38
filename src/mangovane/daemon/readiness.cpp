// Implementation of the readiness.
#include "mangovane/daemon/readiness.hpp"

#include <absl/strings/str_cat.h>

namespace mangovane
{

std::string readiness::missing_text() const
{
    std::string missing;
    if (!has_settings)
    {
        missing = "settings";
    }
    if (!has_endpoints)
    {
        absl::StrAppend(&missing, missing.empty() ? "" : ",", "endpoints");
    }
    return absl::StrCat("missing=", missing.empty() ? "none" : missing,
                        " store_answered=", store.answered ? 1 : 0,
                        " store_failures=", store.failures, " store_error=\"", store.last_failure,
                        "\" members=", members);
}

} // namespace mangovane
