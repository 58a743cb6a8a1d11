#include "eelgrasspost/releasenote/releasenotemodule.h"

#include "internal/releasenotes.h"

namespace eelgrasspost::releasenote {

auto MakeReleaseNotes(ReleaseNoteDependencies aParts,
                      ReleaseNoteOptions aOptions)
  -> std::unique_ptr<IReleaseNotes>
{
  return std::make_unique<ReleaseNotes>(aParts, aOptions);
}

} // namespace eelgrasspost::releasenote
