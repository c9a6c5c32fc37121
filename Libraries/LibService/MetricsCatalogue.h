#ifndef Libraries_LibService_MetricsCatalogue_h
#define Libraries_LibService_MetricsCatalogue_h

#include <string_view>

namespace vanillaworks::service {

struct MetricDescription
{
  std::string_view name;
  std::string_view help;
};

/** Every metric of both programs; docs/OPERATIONS.md lists the same rows. */
inline constexpr MetricDescription kMetrics[] = {
  { "vanillaworks_answers_total", "answers to callers, by state" },
  { "vanillaworks_refusals_total", "refusals, by reason" },
  { "vanillaworks_retries_total", "tasks placed again, by reason" },
  { "vanillaworks_starts_total", "tasks handed to an agent or upstream" },
  { "vanillaworks_in_flight", "tasks accepted and not ended" },
  { "vanillaworks_queued", "tasks that wait to be placed or started" },
  { "vanillaworks_remembered", "submissions or starts in memory" },
  { "vanillaworks_links", "links that are up" },
  { "vanillaworks_frames_sent_total", "frames sent to our processes" },
  { "vanillaworks_frames_received_total", "frames got from our processes" },
  { "vanillaworks_bytes_sent_total", "bytes of frames sent" },
  { "vanillaworks_bytes_received_total", "bytes of frames got" },
  { "vanillaworks_control_frames_total", "frames sent that carry no task" },
  { "vanillaworks_bad_frames_total", "frames that could not be decoded" },
  { "vanillaworks_table_errors_total", "table calls without an answer" },
  { "vanillaworks_table_pending", "operations that wait for the table" },
  { "vanillaworks_configuration_version", "configuration version in force" },
  { "vanillaworks_takeovers_total", "submissions taken over" },
  { "vanillaworks_answer_seconds", "time from request to answer, by route" },
  { "vanillaworks_waiting_seconds", "time from placing to start, by route" },
  { "vanillaworks_running_seconds", "time of a run at its worker, by route" },
  { "vanillaworks_placement_error_seconds",
    "expected end of a run against the real one" },
  { "vanillaworks_store_calls_total", "calls to the store, by outcome" },
  { "vanillaworks_dropped_log_lines", "log lines that were not written" },
  { "vanillaworks_configuration_age_ms", "since the last news was adopted" },
  { "vanillaworks_upstream_age_ms", "oldest word of a linked upstream" },
};

}

#endif
