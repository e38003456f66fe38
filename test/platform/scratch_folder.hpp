// Temporary folder of a test.
#ifndef MANGOVANE_TEST_PLATFORM_SCRATCH_FOLDER_HPP
#define MANGOVANE_TEST_PLATFORM_SCRATCH_FOLDER_HPP

#include <filesystem>
#include <string>

#include <unistd.h>

namespace mangovane::test
{

/// Created by the constructor and removed by the destructor.
class scratch_folder
{
public:
    /// Processes that use the same name get folders of their own.
    explicit scratch_folder(const std::string& name)
        : path{(std::filesystem::temp_directory_path() /
                ("mangovane-" + name + "-" + std::to_string(::getpid())))
                   .string()}
    {
        std::filesystem::create_directories(path);
    }
    ~scratch_folder() { std::filesystem::remove_all(path); }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    const std::string path;
};

} // namespace mangovane::test

#endif
