#pragma once

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Gateway::Internal
{

/// A socket whose executor's type is known, so that no operation on it pays for a type-erased one.
using TcpSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

} // namespace Gateway::Internal
