// Limit on the descriptors of the processes that are started meanwhile.
#ifndef MANGOVANE_TEST_PLATFORM_DESCRIPTOR_LIMIT_HPP
#define MANGOVANE_TEST_PLATFORM_DESCRIPTOR_LIMIT_HPP

#include <sys/resource.h>

namespace mangovane::test
{

/// Lowers the limit of this process, which its children inherit, and restores it at the end.
class descriptor_limit
{
public:
    explicit descriptor_limit(std::size_t count)
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit lowered{count, before_.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    rlimit before_{};
};

} // namespace mangovane::test

#endif
