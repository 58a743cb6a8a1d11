#include "internal/commands.h"

auto main(int aCount, char** aArguments) -> int
{
  return static_cast<int>(eelgrasspost::app::RunCommand(aCount, aArguments));
}
