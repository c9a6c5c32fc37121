#ifndef Libraries_LibPlatform_ClaimRow_h
#define Libraries_LibPlatform_ClaimRow_h

#include "LibDispatch/Answer.h"
#include "LibDispatch/EntryIdentity.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillaworks::platform {

/** The table row that records which entry owns a submission. */
struct ClaimRow
{
  dispatch::EntryIdentity owner;
  std::string digest;
  /**
   * Version of the row's first write. 0 until a takeover fills it in, since a
   * write can't contain its own version.
   */
  std::uint64_t firstSequence = 0;
  /** Set once the submission has ended. */
  std::optional<dispatch::Answer> answer;
  /** Name of the object that holds an answer too large for the row. */
  std::string answerObjectName;

  /** Thread safe. */
  std::string Encode() const;
  /** Returns nothing if the value is not a valid claim. Thread safe. */
  static std::optional<ClaimRow> Decode(const std::string& aValue);
};

std::string
EncodeAnswer(const dispatch::Answer& aAnswer);
std::optional<dispatch::Answer>
DecodeAnswer(const std::string& aText);
std::string
ClaimKey(const SubmissionId& aSubmission);

}

#endif
