// Tests of mangovanectl against the platform stand-in, both as real processes on loopback. A script
// relies on exit codes and change ids: a retry must not create a second version of the settings.
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include <doctest/doctest.h>

namespace
{

const std::string programs = MANGOVANE_PROGRAM_FOLDER;

/// The platform stand-in as a child process on a free port.
class platform_process
{
public:
    platform_process()
    {
        std::array<int, 2> ends{};
        REQUIRE(pipe(ends.data()) == 0);
        pid_ = fork();
        if (pid_ == 0)
        {
            dup2(ends[1], STDOUT_FILENO);
            const auto program = programs + "/mangovane-standin";
            execl(program.c_str(), program.c_str(), "platform", "--listen", "127.0.0.1:0", nullptr);
            _exit(127);
        }
        close(ends[1]);
        FILE* out = fdopen(ends[0], "r");
        const int found = std::fscanf(out, "listening %d", &port_);
        std::fclose(out);
        REQUIRE(found == 1);
    }

    ~platform_process()
    {
        kill(pid_, SIGTERM);
        waitpid(pid_, nullptr, 0);
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    pid_t pid_{-1};
    int port_{0};
};

struct ctl_result
{
    int code{-1};
    std::string output; ///< Standard output and error.
};

ctl_result ctl(const std::string& arguments)
{
    ctl_result result;
    FILE* out = popen((programs + "/mangovanectl " + arguments + " 2>&1").c_str(), "r");
    std::array<char, 512> buf{};
    while (std::fgets(buf.data(), buf.size(), out) != nullptr)
    {
        result.output += buf.data();
    }
    result.code = WEXITSTATUS(pclose(out));
    return result;
}

struct cli_fixture
{
    cli_fixture()
    {
        char name[] = "/tmp/mangovane-settings-XXXXXX";
        close(mkstemp(name));
        file = name;
        write(R"({"services": {}, "nodes": [{"path": "/", "settings": {}}]})");
    }

    ~cli_fixture() { std::remove(file.c_str()); }

    void write(const std::string& text) const { std::ofstream{file} << text; }

    [[nodiscard]] ctl_result run(const std::string& arguments) const
    {
        return ctl(arguments + " --author ada --platform " + platform.address());
    }

    platform_process platform;
    std::string file;
};

bool has(const ctl_result& result, const std::string& part)
{
    return result.output.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("mangovanectl changes settings through the platform")
{
    const cli_fixture fix;
    const auto applied = fix.run("settings apply " + fix.file + " --change-id c1");
    CHECK(applied.output == "applied: version 1\n");
    CHECK(applied.code == 0);

    SUBCASE("a retry with the same change id creates no second version")
    {
        CHECK(fix.run("settings apply " + fix.file + " --change-id c1").output ==
              "already applied: version 1\n");
        CHECK(has(fix.run("settings history"), "1        ada     c1"));
    }
    SUBCASE("a failure domain is taken out and returned")
    {
        CHECK(fix.run("domain out lekki-b").code == 0);
        CHECK(has(fix.run("settings show"), R"("domains_out": ["lekki-b"])"));
        CHECK(fix.run("domain in lekki-b").code == 0);
        CHECK(has(fix.run("settings show"), R"("domains_out": [])"));

        SUBCASE("an edit based on an older version is a conflict")
        {
            const auto late = fix.run("settings apply " + fix.file + " --base 1");
            CHECK(late.code == 4);
            CHECK(has(late, "version 3 was made by ada"));
        }
        SUBCASE("a rollback applies the old text as a new version")
        {
            CHECK(fix.run("settings rollback 1").output == "applied: version 4\n");
            CHECK(fix.run("settings diff " + fix.file).output.empty());
        }
    }
}

TEST_CASE("mangovanectl has an exit code for each kind of error")
{
    const cli_fixture fix;
    CHECK(fix.run("settings show").code == 1);
    CHECK(fix.run("settings apply").code == 2);
    CHECK(fix.run("status").code == 2);
    fix.write("{}");
    CHECK(fix.run("settings check " + fix.file).code == 3);
    CHECK(fix.run("settings apply " + fix.file).code == 3);
    CHECK(ctl("settings show --platform 127.0.0.1:1").code == 5);
}
