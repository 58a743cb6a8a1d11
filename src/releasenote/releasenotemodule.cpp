#include "eelgrasspost/releasenote/releasenotemodule.h"

#include "internal/releasenotes.h"

namespace eelgrasspost::releasenote {

auto MakeReleaseNotes(platform::ITable& aTable, ReleaseNoteOptions aOptions)
  -> std::unique_ptr<IReleaseNotes>
{
  return std::make_unique<ReleaseNotes>(aTable, aOptions);
}

} // namespace eelgrasspost::releasenote
