#ifndef Libraries_LibService_MetricsCatalogue_h
#define Libraries_LibService_MetricsCatalogue_h

#include <string_view>

namespace vanillaworks::service {

struct MetricDescription
{
  std::string_view name;
  std::string_view help;
};

/** All metrics of both programs; docs/OPERATIONS.md lists the same metrics. */
inline constexpr MetricDescription kMetrics[] = {
  { "vanillaworks_answers_total", "responses to callers, by state" },
  { "vanillaworks_refusals_total", "refusals, by reason" },
  { "vanillaworks_callers_gone_total",
    "callers that disconnected before their response" },
  { "vanillaworks_retries_total", "tasks reassigned, by reason" },
  { "vanillaworks_starts_total", "tasks sent to an agent or upstream" },
  { "vanillaworks_unanswered_starts_total",
    "start calls to the runner without an answer" },
  { "vanillaworks_unexpected_runs_total",
    "Runs that a runner listed and its agent did not await" },
  { "vanillaworks_lost_runs_total",
    "runs that ended before they were done, by how the agent knows" },
  { "vanillaworks_unconfirmed_departures_total",
    "announced shutdowns that were answered while runs might be active" },
  { "vanillaworks_tasks_released_total",
    "runs of lost agents that count as over" },
  { "vanillaworks_in_flight", "tasks accepted but not ended" },
  { "vanillaworks_queued", "tasks waiting to be assigned or started" },
  { "vanillaworks_remembered", "submissions or starts kept in memory" },
  { "vanillaworks_client_connections", "open connections of clients" },
  { "vanillaworks_clients_closed_total",
    "connections of clients that a limit closed, by reason" },
  { "vanillaworks_links", "established links" },
  { "vanillaworks_frames_sent_total", "frames sent to entries and agents" },
  { "vanillaworks_frames_received_total",
    "frames received from entries and agents" },
  { "vanillaworks_bytes_sent_total", "bytes of frames sent" },
  { "vanillaworks_bytes_received_total", "bytes of frames received" },
  { "vanillaworks_control_frames_total", "sent frames that carry no task" },
  { "vanillaworks_bad_frames_total", "frames that could not be decoded" },
  { "vanillaworks_table_errors_total", "table calls without a response" },
  { "vanillaworks_table_pending", "operations waiting for the table" },
  { "vanillaworks_configuration_version", "configuration version in force" },
  { "vanillaworks_takeovers_total", "submissions taken over" },
  { "vanillaworks_answer_seconds", "time from request to response, by route" },
  { "vanillaworks_waiting_seconds", "time from assignment to start, by route" },
  { "vanillaworks_running_seconds", "run time at the worker, by route" },
  { "vanillaworks_placement_error_seconds",
    "difference between expected and actual end of a run" },
  { "vanillaworks_store_calls_total", "calls to the store, by outcome" },
  { "vanillaworks_dropped_log_lines", "log lines that were not written" },
  { "vanillaworks_configuration_age_ms",
    "time since a newer configuration was adopted" },
  { "vanillaworks_upstream_age_ms",
    "age of the oldest status of a linked upstream" },
};

}

#endif
