//! Names of the metrics that a router exports.

/// Requests that were refused because their bodies were stuck while others lacked room.
pub(crate) const STUCK_BODIES: &str = "dogwoodway_router_stuck_bodies_total";

/// Client requests that have ended, by outcome.
pub(crate) const REQUESTS: &str = "dogwoodway_router_requests_total";

/// Attempts at backend servers, by how they ended (label `end`).
pub(crate) const ATTEMPTS: &str = "dogwoodway_router_attempts_total";

/// Requests that count as in flight at backend servers.
pub(crate) const IN_FLIGHT: &str = "dogwoodway_router_requests_in_flight";

/// Responses of backend servers that name no request.
pub(crate) const UNNAMED_RESPONSES: &str = "dogwoodway_router_unnamed_responses_total";

/// Bodies of backend servers' responses, by how their end is marked (label `framing`) and by the
/// outcome of the request.
pub(crate) const RESPONSE_BODIES: &str = "dogwoodway_router_response_bodies_total";

/// Streams that clients have taken up again, by how their origin was found (label `origin`).
pub(crate) const RESUMPTIONS: &str = "dogwoodway_router_resumptions_total";

/// Surveys among all routers which software they have listed, by result (label `result`).
pub(crate) const SOFTWARE_SURVEYS: &str = "dogwoodway_router_software_surveys_total";

/// Reads of the list of servers that were made because a client took up a stream.
pub(crate) const ON_DEMAND_READS: &str = "dogwoodway_router_on_demand_server_list_reads_total";

/// Seconds from when the list of servers was last known to be current until a client came that takes
/// up a stream of unknown origin, by how its origin was found (label `origin`). 0 if the list was read
/// later.
pub(crate) const RESUMPTION_LIST_AGE_SECONDS: &str =
    "dogwoodway_router_resumption_server_list_age_seconds";

/// Seconds from the arrival of a client that takes up a stream until its origin was decided on, by how
/// it was found (label `origin`).
pub(crate) const RESUMPTION_SECONDS: &str = "dogwoodway_router_resumption_seconds";

/// Requests that started on weights of which a newer version had been published, by whether that was
/// later than allowed (label `late`).
pub(crate) const OUTDATED_STARTS: &str = "dogwoodway_router_outdated_starts_total";

/// Requests that were withdrawn from engines because they had not started before their weights became
/// too old.
pub(crate) const WITHDRAWN_REQUESTS: &str = "dogwoodway_router_withdrawn_requests_total";

/// Seconds left, when such a request started, until none may start on its weights any more.
pub(crate) const OUTDATED_START_LEFT_SECONDS: &str =
    "dogwoodway_router_outdated_start_left_seconds";

/// Seconds from a request's arrival to the head of its response.
pub(crate) const FIRST_BYTE_SECONDS: &str = "dogwoodway_router_first_byte_seconds";

/// Seconds from a request's arrival to its end.
pub(crate) const REQUEST_SECONDS: &str = "dogwoodway_router_request_seconds";

/// Retries that the retry budget denied.
pub(crate) const RETRIES_DENIED: &str = "dogwoodway_router_retries_denied_total";

/// Responses that were aborted because their clients read nothing and memory was short.
pub(crate) const UNREAD_RESPONSES_ABORTED: &str =
    "dogwoodway_router_unread_responses_aborted_total";

/// Failed calls to the platform's store.
pub(crate) const STORE_FAILURES: &str = "dogwoodway_router_store_failures_total";

/// Era of the platform's store.
pub(crate) const STORE_ERA: &str = "dogwoodway_router_store_era";

/// Answers of the platform's store that were not used because of the era that they name.
pub(crate) const STORE_ANSWERS_UNUSED: &str = "dogwoodway_router_store_answers_unused_total";

/// Orders to engines, by outcome (label `answer`).
pub(crate) const ORDERS: &str = "dogwoodway_router_orders_total";

/// Version of the routing table in force.
pub(crate) const TABLE_VERSION: &str = "dogwoodway_router_table_version";

/// Backend servers in the fleet.
pub(crate) const SERVERS: &str = "dogwoodway_router_servers";

/// Backend servers that were found to be shutting down, by their responses or reports of other
/// routers.
pub(crate) const SERVERS_LEAVING: &str = "dogwoodway_router_servers_leaving_total";

/// Pauses that backend servers have asked for.
pub(crate) const SERVER_PAUSES: &str = "dogwoodway_router_server_pauses_total";

/// Crashes of backend servers with requests of this router.
pub(crate) const SERVER_CRASHES: &str = "dogwoodway_router_server_crashes_total";

/// Prompt parts in quarantine.
pub(crate) const PARTS_QUARANTINED: &str = "dogwoodway_router_parts_quarantined";

/// Limits that backend servers have stated, changed or ended.
pub(crate) const SERVER_LIMITS: &str = "dogwoodway_router_server_limits_total";

/// Known routers, this one included.
pub(crate) const ROUTERS: &str = "dogwoodway_router_routers";

/// Datagrams of other routers that may have waited while the process stood still.
pub(crate) const LATE_DATAGRAMS: &str = "dogwoodway_router_late_datagrams_total";

/// Bytes of gossip datagrams sent to other routers.
pub(crate) const GOSSIP_BYTES: &str = "dogwoodway_router_gossip_bytes_total";

/// Tokens of requests of teams with a quota, by how they ended (label `end`: `spent`, `returned` or
/// `refused`).
pub(crate) const QUOTA_TOKENS: &str = "dogwoodway_router_quota_tokens_total";

/// Datagrams sent to other routers about quotas.
pub(crate) const QUOTA_DATAGRAMS: &str = "dogwoodway_router_quota_datagrams_total";
