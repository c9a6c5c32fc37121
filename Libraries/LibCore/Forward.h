#ifndef Libraries_LibCore_Forward_h
#define Libraries_LibCore_Forward_h

namespace vanillaworks {

template<typename T, typename E>
class Result;
class Log;
class SettingsReader;
struct SettingsIssue;

}

#endif
