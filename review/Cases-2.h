#ifndef review_Cases_2_h
#define review_Cases_2_h

#include <string>

namespace vanillaworks::review {

inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

/** Plays the case of this name and writes aFolder's record.txt. */
int
PlayCase(const std::string& aName,
         const std::string& aFolder,
         bool aHasTrouble);

}

#endif
