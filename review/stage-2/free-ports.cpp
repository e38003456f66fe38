// Prints free ports: each could be bound on all loopback addresses. Usage: free-ports COUNT
#include <cstdlib>
#include <iostream>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

int main(int argc, char** argv)
{
    const int count = argc == 2 ? std::atoi(argv[1]) : 1;
    std::vector<int> held;
    for (int n = 0; n != count; ++n)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        socklen_t size = sizeof(at);
        if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
            ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
        {
            return 2;
        }
        held.push_back(fd); // Until all are found, so that they differ.
        std::cout << ntohs(at.sin_port) << '\n';
    }
    return 0;
}
