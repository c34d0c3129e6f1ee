// A library for LD_PRELOAD of daemons: connections to runners, which listen on 127.0.0.1, go to
// the same port of the address in REDIRECT_RUNNERS_TO. With a proxy there, a test can cut the paths
// of one daemon to the runners.

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

extern "C" int connect(int descriptor, const sockaddr* address, socklen_t size)
{
    const char* proxy = std::getenv("REDIRECT_RUNNERS_TO");
    sockaddr_in to{};
    if (proxy != nullptr && address->sa_family == AF_INET && size >= sizeof to) {
        std::memcpy(&to, address, sizeof to);
        if (to.sin_addr.s_addr == htonl(INADDR_LOOPBACK)) {
            ::inet_pton(AF_INET, proxy, &to.sin_addr);
            return static_cast<int>(::syscall(SYS_connect, descriptor, &to, sizeof to));
        }
    }
    return static_cast<int>(::syscall(SYS_connect, descriptor, address, size));
}
