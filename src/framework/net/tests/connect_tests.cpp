#include <boost/test/unit_test.hpp>

#include <future>

#include "internal/connect.h"

namespace {

using namespace eelgrasspost::net;
using eelgrasspost::base::MonotonicClock;
using Tcp = asio::ip::tcp;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/** A pool of one thread and a listening socket; the kernel accepts connections
 * to it. */
struct Listener
{
  static constexpr auto kBacklog = 2000;

  IoPool mPool{ 1 };
  Tcp::acceptor mAcceptor{ mPool.Executor(0) };

  Listener()
  {
    mAcceptor.open(Tcp::v4());
    mAcceptor.bind({ asio::ip::address_v4::loopback(), 0 });
    mAcceptor.listen(kBacklog);
    mPool.Start();
  }

  ~Listener() { mPool.Stop(); }

  /** Connects with a short timeout while the thread is busy at times, and
   * counts the sockets that were connected and closed later on. */
  auto CountClosedLater() -> Task<std::size_t>
  {
    constexpr auto kAttempts = 400;
    const auto address =
      Address{ "127.0.0.1", mAcceptor.local_endpoint().port() };
    std::size_t out = 0;
    for (auto i = 0; i < kAttempts; ++i) {
      Tcp::socket socket(mPool.Executor(0));
      const auto timeout = microseconds(i);
      const auto ec =
        co_await Connect(socket, address, "", MonotonicClock::now() + timeout);
      const auto wasOpen = !ec && socket.is_open();
      co_await Sleep(milliseconds(1));
      out += wasOpen && !socket.is_open() ? 1 : 0;
    }
    co_return out;
  }
};

} // namespace

// Guards against a crash of an entry that wakes from a suspension: the timer of
// Connect expired together with its connection and closed a socket that was in
// use or destroyed.
BOOST_FIXTURE_TEST_CASE(connect_timer_expires_when_connected_socket_stays_open,
                        Listener)
{
  std::promise<std::size_t> closed;
  auto run = [](Listener& aListener,
                std::promise<std::size_t>& aClosed) -> Task<void> {
    aClosed.set_value(co_await aListener.CountClosedLater());
  };
  mPool.Spawn(mPool.Executor(0), run(*this, closed));

  BOOST_TEST(closed.get_future().get() == 0U);
}
