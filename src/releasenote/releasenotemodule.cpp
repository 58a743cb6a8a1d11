#include "eelgrasspost/releasenote/releasenotemodule.h"

#include "internal/releasenotes.h"

namespace eelgrasspost::releasenote {

auto MakeReleaseNotes(ReleaseNoteDependencies aDependencies,
                      ReleaseNoteOptions aOptions)
  -> std::unique_ptr<IReleaseNotes>
{
  return std::make_unique<ReleaseNotes>(aDependencies, aOptions);
}

} // namespace eelgrasspost::releasenote
