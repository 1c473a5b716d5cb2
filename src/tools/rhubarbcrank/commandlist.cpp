#include "commandlist.h"

#include "checkcommand.h"
#include "diffcommand.h"
#include "keyscommand.h"
#include "promotecommand.h"
#include "publishcommand.h"
#include "replaycommand.h"
#include "reportcommand.h"
#include "statuscommand.h"

namespace Commands
{

std::vector<Command> allCommands()
{
    return {checkCommand(),
            diffCommand(),
            keysCommand(),
            publishCommand(),
            promoteCommand(),
            statusCommand(),
            replayCommand(),
            reportCommand()};
}

} // namespace Commands
