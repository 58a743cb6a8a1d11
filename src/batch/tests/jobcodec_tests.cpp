#include <boost/test/unit_test.hpp>

#include "eelgrasspost/batch/jobcodec.h"

namespace {

using namespace eelgrasspost;

/** An invalid job and the texts that the error message must contain. */
struct BadJob
{
  std::string mText;
  std::vector<std::string> mNamed;
};

const std::vector<BadJob> kBadJobs = {
  { "{}", { "id: is missing", "team:", "cpu_millis:", "memory_mb:" } },
  { R"({"id": "a/b", "team": "lab", "cpu_millis": 1, "memory_mb": 1})",
    { "id: \"a/b\"; write up to 100" } },
  { R"({"id": "a", "team": "lab", "cpu_millis": 0, "memory_mb": -1,
        "tasks": 0, "urgent": 1, "declared_run_ms": "1h", "cpu": 5})",
    { "cpu_millis: 0",
      "memory_mb: -1",
      "tasks: 0",
      "urgent: 1",
      "declared_run_ms: \"1h\"",
      "cpu: is not a field of a job" } },
};

auto MakeBlock() -> batch::TaskBlock
{
  batch::TaskRecord task;
  task.mState = batch::TaskState::Running;
  task.mAttempt = 3;
  task.mWorker = "worker-1";
  task.mToken = { 7, "entry-1" };
  task.mIncarnation = "i1";
  task.mCheckpoint = "ms=5";
  task.mUsedMs = 12;
  task.mFailedOn = { "worker-2" };
  batch::JobSpec spec;
  spec.mId = "calorific-1";
  spec.mTeam = "lab";
  spec.mTasks = 18;
  return { spec, 1, { task, {} } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(jobcodec)

BOOST_AUTO_TEST_CASE(bad_job_parsed_names_every_invalid_field)
{
  for (const auto& it : kBadJobs) {
    const auto job = batch::ParseJob(it.mText);
    BOOST_TEST_REQUIRE(!job.ok());
    for (const auto& named : it.mNamed) {
      BOOST_TEST_CONTEXT(named << " in " << job.status().message())
      {
        BOOST_TEST((job.status().message().find(named) != std::string::npos));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(block_encoded_and_decoded_is_unchanged)
{
  const auto block = MakeBlock();
  const auto text = batch::EncodeBlock(block);
  const auto decoded = batch::DecodeBlock(text);
  BOOST_TEST_REQUIRE(decoded.ok());
  BOOST_TEST(batch::EncodeBlock(*decoded) == text);
  BOOST_TEST((decoded->mSpec == block.mSpec));
  BOOST_TEST((decoded->mTasks[0].mToken == block.mTasks[0].mToken));
}

BOOST_AUTO_TEST_SUITE_END()
