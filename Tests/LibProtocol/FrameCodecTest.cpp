#include "LibProtocol/FrameCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace vanillaworks;
using namespace vanillaworks::protocol;

namespace {
Frame
MakeFrame(std::uint64_t aNumber, const std::string& aPayload)
{
  TaskResult result;
  result.number = aNumber;
  result.key = { SubmissionId("s"), 7 };
  result.code = ResultCode::Completed;
  result.payload = aPayload;
  Header header;
  header.echo = static_cast<std::int64_t>(aNumber);
  header.acknowledged = { aNumber, aNumber + 1 };
  return { header, result };
}
}

TEST_CASE("frames are decoded unchanged from a stream split at any byte")
{
  CHECK(rc::check([](const std::vector<std::string>& aPayloads) {
    std::string stream;
    for (std::size_t i = 0; i < aPayloads.size(); ++i) {
      AppendFrame(MakeFrame(i, aPayloads[i]), stream);
    }
    FrameDecoder decoder;
    std::size_t nextNumber = 0;
    std::size_t offset = 0;
    while (offset < stream.size()) {
      auto size = *rc::gen::inRange<std::size_t>(1, 40);
      decoder.Append(std::string_view(stream).substr(offset, size));
      offset += size;
      while (true) {
        auto frame = decoder.Next();
        RC_ASSERT_FALSE(frame.IsError());
        if (!frame.Value()) {
          break;
        }
        const auto& received = std::get<TaskResult>(frame.Value()->message);
        RC_ASSERT(received.number == nextNumber);
        RC_ASSERT(received.payload == aPayloads[nextNumber]);
        RC_ASSERT(frame.Value()->header.acknowledged.size() == 2U);
        ++nextNumber;
      }
    }
    RC_ASSERT(nextNumber == aPayloads.size());
  }));
}

TEST_CASE("corrupt bytes are rejected or decoded without a crash")
{
  CHECK(rc::check([](const std::string& aPayload) {
    std::string stream;
    AppendFrame(MakeFrame(1, aPayload), stream);
    auto corruptions = *rc::gen::inRange(1, 6);
    for (int i = 0; i < corruptions; ++i) {
      auto position = *rc::gen::inRange<std::size_t>(0, stream.size());
      stream[position] = *rc::gen::arbitrary<char>();
    }
    FrameDecoder decoder;
    decoder.Append(stream);
    for (int i = 0; i < 4; ++i) {
      auto frame = decoder.Next();
      if (frame.IsError() || !frame.Value()) {
        return;
      }
    }
  }));
}

TEST_CASE("a frame over the size limit is rejected before its body arrives")
{
  FrameDecoder decoder;
  decoder.Append(std::string("\x7f\xff\xff\xff", 4));
  auto frame = decoder.Next();
  REQUIRE(frame.IsError());
  CHECK(frame.Error() == FrameError::TooLarge);
}

TEST_CASE("a frame of an unknown message type is rejected")
{
  std::string body = "\x93\x7f\x97\x00\x00\x00\xff\x00\xc2\x90\x90";
  std::string stream("\x00\x00\x00\x0b", 4);
  FrameDecoder decoder;
  decoder.Append(stream + std::string(body.data(), 11));
  auto frame = decoder.Next();
  REQUIRE(frame.IsError());
  CHECK(frame.Error() != FrameError::TooLarge);
}

TEST_CASE("UpstreamFigures are sent without the upstream's description")
{
  UpstreamStatus status;
  status.upstream = UpstreamId("side-promenade-4");
  status.service = "tally-svc";
  status.domain = FailureDomainId("promenade");
  status.labels = { "a", "r1-3" };
  status.cpu = 64'000;
  status.cpuFree = 12'400;
  status.startInMs = 35;
  status.accepting = true;
  status.ordersSeen = 70'000;
  std::string statusBytes;
  AppendFrame({ {}, status }, statusBytes);
  std::string figuresBytes;
  AppendFrame({ {}, UpstreamFigures(status) }, figuresBytes);
  CHECK(figuresBytes.size() * 2 < statusBytes.size());

  FrameDecoder decoder;
  decoder.Append(statusBytes + figuresBytes);
  auto first = decoder.Next().ReleaseValue();
  auto second = decoder.Next().ReleaseValue();
  REQUIRE(first);
  REQUIRE(second);
  auto received = std::get<UpstreamStatus>(first->message);
  CHECK(received.DescribesSame(status));
  CHECK(received.startInMs == 35);
  auto update = std::get<UpstreamFigures>(second->message);
  update.cpuFree = 0;
  static_cast<UpstreamFigures&>(received) = update;
  CHECK(received.DescribesSame(status));
  CHECK(received.cpuFree == 0);
  CHECK(received.ordersSeen == 70'000);
}
