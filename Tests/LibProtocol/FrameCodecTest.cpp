#include "LibProtocol/FrameCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace vanillaworks;
using namespace vanillaworks::protocol;

namespace {
Frame
SomeFrame(std::uint64_t aNumber, const std::string& aPayload)
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

TEST_CASE("frames come out as they went in, however the stream is cut")
{
  CHECK(rc::check([](const std::vector<std::string>& aPayloads) {
    std::string stream;
    for (std::size_t i = 0; i < aPayloads.size(); ++i) {
      AppendFrame(SomeFrame(i, aPayloads[i]), stream);
    }
    FrameDecoder decoder;
    std::size_t next = 0;
    std::size_t at = 0;
    while (at < stream.size()) {
      auto size = *rc::gen::inRange<std::size_t>(1, 40);
      decoder.Append(std::string_view(stream).substr(at, size));
      at += size;
      while (true) {
        auto frame = decoder.Next();
        RC_ASSERT_FALSE(frame.IsError());
        if (!frame.Value()) {
          break;
        }
        const auto& got = std::get<TaskResult>(frame.Value()->message);
        RC_ASSERT(got.number == next);
        RC_ASSERT(got.payload == aPayloads[next]);
        RC_ASSERT(frame.Value()->header.acknowledged.size() == 2U);
        ++next;
      }
    }
    RC_ASSERT(next == aPayloads.size());
  }));
}

TEST_CASE("damaged bytes are refused or decoded, and never more")
{
  CHECK(rc::check([](const std::string& aPayload) {
    std::string stream;
    AppendFrame(SomeFrame(1, aPayload), stream);
    auto hits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < hits; ++i) {
      auto place = *rc::gen::inRange<std::size_t>(0, stream.size());
      stream[place] = *rc::gen::arbitrary<char>();
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

TEST_CASE("a frame over the limit is refused before its bytes arrive")
{
  FrameDecoder decoder;
  decoder.Append(std::string("\x7f\xff\xff\xff", 4));
  auto frame = decoder.Next();
  REQUIRE(frame.IsError());
  CHECK(frame.Error() == FrameError::TooLarge);
}

TEST_CASE("a type that this release does not know is refused")
{
  std::string body = "\x93\x7f\x97\x00\x00\x00\xff\x00\xc2\x90\x90";
  std::string stream("\x00\x00\x00\x0b", 4);
  FrameDecoder decoder;
  decoder.Append(stream + std::string(body.data(), 11));
  auto frame = decoder.Next();
  REQUIRE(frame.IsError());
  CHECK(frame.Error() != FrameError::TooLarge);
}

TEST_CASE("an upstream's figures travel without what describes it")
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
  std::string whole;
  AppendFrame({ {}, status }, whole);
  std::string figures;
  AppendFrame({ {}, UpstreamFigures(status) }, figures);
  CHECK(figures.size() * 2 < whole.size());

  FrameDecoder decoder;
  decoder.Append(whole + figures);
  auto first = decoder.Next().ReleaseValue();
  auto second = decoder.Next().ReleaseValue();
  REQUIRE(first);
  REQUIRE(second);
  auto got = std::get<UpstreamStatus>(first->message);
  CHECK(got.DescribesSame(status));
  CHECK(got.startInMs == 35);
  auto change = std::get<UpstreamFigures>(second->message);
  change.cpuFree = 0;
  static_cast<UpstreamFigures&>(got) = change;
  CHECK(got.DescribesSame(status));
  CHECK(got.cpuFree == 0);
  CHECK(got.ordersSeen == 70'000);
}
