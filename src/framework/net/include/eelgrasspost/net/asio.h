#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace eelgrasspost::net {

namespace asio = boost::asio;

template<typename T>
using Task = asio::awaitable<T>;

} // namespace eelgrasspost::net
