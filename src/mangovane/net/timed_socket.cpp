// Implementation of the socket with a deadline.
#include "mangovane/net/timed_socket.hpp"

namespace mangovane
{

void timed_socket::expire_at(time_point at, arrival_check has_arrived)
{
    expired_ = false;
    deadline_.start(
        at, [self = shared_from_this(), has_arrived] { return has_arrived(self->socket_); },
        [self = shared_from_this()] { self->on_expired(); });
}

void timed_socket::stop()
{
    deadline_.stop();
}

void timed_socket::close()
{
    stop();
    boost::system::error_code ec;
    socket_.close(ec);
}

void timed_socket::on_expired()
{
    expired_ = true;
    boost::system::error_code ec;
    socket_.cancel(ec);
    // A read may have taken its bytes just before, with the rest of the message still to be read.
    deadline_.start(
        clock::now() + arrival_grace, [] { return false; },
        [self = shared_from_this()] { self->close(); });
}

} // namespace mangovane
