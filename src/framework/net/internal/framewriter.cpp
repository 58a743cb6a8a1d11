#include <boost/asio/write.hpp>

#include "frame.h"

namespace eelgrasspost::net {

auto FrameWriter::Write(std::string_view aBytes) -> void
{
  if (mIsClosed) {
    return;
  }
  mQueued += aBytes;
  if (!mIsWriting) {
    mIsWriting = true;
    SpawnTask(mSocket.get_executor(), Drain());
  }
}

auto FrameWriter::Drain() -> Task<void>
{
  const auto self = shared_from_this();
  while (!mIsClosed && !mQueued.empty()) {
    auto bytes = std::move(mQueued);
    mQueued.clear();
    boost::system::error_code ec;
    co_await asio::async_write(mSocket,
                               asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      mIsClosed = true;
    }
  }
  mIsWriting = false;
}

} // namespace eelgrasspost::net
