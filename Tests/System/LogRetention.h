#ifndef Tests_System_LogRetention_h
#define Tests_System_LogRetention_h

#include <filesystem>

namespace vanillaworks::system {

/**
 * Removes a deployment's directory. If the environment variable
 * VANILLAWORKS_KEEP_LOGS is set, the directory stays and the last lines of each
 * log in it are printed instead.
 */
void
RemoveOrKeepLogs(const std::filesystem::path& aDirectory);

}

#endif
