#pragma once

#include <memory>

#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/releasenote/ireleasenotes.h"

namespace eelgrasspost::releasenote {

struct ReleaseNoteOptions
{
  base::Milliseconds mPollInterval{ 500 };
  base::Milliseconds mCallTimeout{ 2000 };
};

auto MakeReleaseNotes(platform::ITable& aTable, ReleaseNoteOptions aOptions)
  -> std::unique_ptr<IReleaseNotes>;

} // namespace eelgrasspost::releasenote
