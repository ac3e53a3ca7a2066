//! Tests of the shards' state machines, the configuration document, the planner and the quota
//! leases.

mod chosen_revisions;
mod claims;
mod document_check;
mod document_form;
mod document_json;
mod empty_tenant_list;
mod fixtures;
mod forward_documents;
mod openapi_limits;
mod orders;
mod planner;
mod proxy_members;
mod quota;
mod quota_clients;
mod quota_outage;
mod quota_slots;
mod shard_machine;
