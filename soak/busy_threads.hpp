// Threads that compute until they are destroyed, to take cores from the routers.
#ifndef MANGOVANE_SOAK_BUSY_THREADS_HPP
#define MANGOVANE_SOAK_BUSY_THREADS_HPP

#include <cstddef>
#include <random>
#include <thread>
#include <vector>

namespace mangovane::soak
{

class busy_threads
{
public:
    explicit busy_threads(std::size_t count)
    {
        for (std::size_t n = 0; n != count; ++n)
        {
            threads_.emplace_back(
                [n](const std::stop_token& stopping)
                {
                    std::mt19937_64 random{n};
                    while (!stopping.stop_requested())
                    {
                        random.discard(numbers_per_check);
                    }
                });
        }
    }

private:
    static constexpr unsigned long long numbers_per_check = 100000;

    std::vector<std::jthread> threads_;
};

} // namespace mangovane::soak

#endif
