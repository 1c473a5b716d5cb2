#include "commandlist.h"

#include "checkcommand.h"
#include "diffcommand.h"
#include "keyscommand.h"

namespace Commands
{

std::vector<Command> allCommands()
{
    return {checkCommand(), diffCommand(), keysCommand()};
}

} // namespace Commands
