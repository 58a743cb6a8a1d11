#include "eelgrasspost/snapshot/snapshot.h"

#include <urcu/urcu-memb.h>

namespace eelgrasspost::snapshot {

namespace {

/** Registers a thread with the RCU library until the thread ends. */
struct ThreadRegistration
{
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
  ThreadRegistration(const ThreadRegistration&) = delete;
  auto operator=(const ThreadRegistration&) -> ThreadRegistration& = delete;
};

auto RegisterThisThread() -> void
{
  thread_local ThreadRegistration registration;
}

} // namespace

ReadGuard::ReadGuard()
{
  RegisterThisThread();
  urcu_memb_read_lock();
}

ReadGuard::~ReadGuard()
{
  urcu_memb_read_unlock();
}

auto WaitForReaders() -> void
{
  urcu_memb_synchronize_rcu();
}

} // namespace eelgrasspost::snapshot
