#include "eelgrasspost/net/iopool.h"

#include <atomic>
#include <exception>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace eelgrasspost::net {

namespace {

thread_local std::size_t tThreadIndex = 0;

} // namespace

struct IoPool::Impl
{
  using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

  std::vector<std::unique_ptr<asio::io_context>> mContexts;
  std::vector<WorkGuard> mGuards;
  std::vector<std::thread> mThreads;
  std::atomic<std::size_t> mNext{ 0 };
};

IoPool::IoPool(std::size_t aThreads)
  : mImpl(std::make_unique<Impl>())
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    mImpl->mContexts.push_back(std::make_unique<asio::io_context>(1));
    mImpl->mGuards.emplace_back(mImpl->mContexts.back()->get_executor());
  }
}

IoPool::~IoPool()
{
  Stop();
  for (auto& it : mImpl->mThreads) {
    it.join();
  }
}

auto IoPool::Size() const -> std::size_t
{
  return mImpl->mContexts.size();
}

auto IoPool::Executor(std::size_t aThread) -> asio::any_io_executor
{
  return mImpl->mContexts[aThread]->get_executor();
}

auto IoPool::NextExecutor() -> asio::any_io_executor
{
  const auto n = mImpl->mNext.fetch_add(1, std::memory_order_relaxed);
  return Executor(n % Size());
}

auto IoPool::Spawn(const asio::any_io_executor& aExecutor, Task<void> aTask)
  -> void
{
  SpawnTask(aExecutor, std::move(aTask));
}

auto IoPool::Start() -> void
{
  for (std::size_t i = 0; i < Size(); ++i) {
    mImpl->mThreads.emplace_back([this, i] {
      tThreadIndex = i;
      mImpl->mContexts[i]->run();
    });
  }
}

auto IoPool::Run() -> void
{
  Start();
  for (auto& it : mImpl->mThreads) {
    it.join();
  }
  mImpl->mThreads.clear();
}

auto IoPool::Stop() -> void
{
  for (auto& it : mImpl->mContexts) {
    it->stop();
  }
}

auto Sleep(std::chrono::microseconds aDuration) -> Task<void>
{
  auto timer =
    asio::steady_timer(co_await asio::this_coro::executor, aDuration);
  co_await timer.async_wait(asio::use_awaitable);
}

auto ThisThreadIndex() -> std::size_t
{
  return tThreadIndex;
}

auto SpawnTask(const asio::any_io_executor& aExecutor, Task<void> aTask) -> void
{
  asio::co_spawn(
    aExecutor, std::move(aTask), [](const std::exception_ptr& aError) {
      if (aError) {
        std::rethrow_exception(aError);
      }
    });
}

} // namespace eelgrasspost::net
