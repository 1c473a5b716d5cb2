#pragma once

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Gateway::Internal
{

/// A TCP socket with a concrete executor type, which avoids the cost of a type-erased executor.
using TcpSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

} // namespace Gateway::Internal
