//! Injects each fault into a complete deployment; no case may be broken.

use pondwalk_demo::faults::Fault;

async fn check(fault: Fault) {
    let finding = fault.inject().await.expect("the deployment runs");
    assert!(finding.checked > 0);
    assert!(finding.broken.is_empty(), "{}: {:#?}", finding.name, finding.broken);
}

macro_rules! faults {
    ($($name:ident => $fault:ident,)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check(Fault::$fault).await;
            }
        )*
    };
}

faults! {
    repeated_key_runs_once => RepeatedKeys,
    killed_agent_repeats_no_order => AgentKilled,
    store_outage_stops_only_orders => StoreDown,
    killed_entry_loses_no_bill => EntryKilled,
    forged_pin_is_refused => ForgedPins,
    sessions_survive_replacement_of_all_processes => EverythingReplaced,
    configurations_reach_entry_without_store => CutFromStore,
    configurations_survive_a_restored_store => RestoredStore,
    planned_stops_cut_no_request => PlannedStops,
    cut_answer_is_repeated_or_reported => CutAnswers,
    stale_orders_are_refused => StaleOrders,
    idle_entry_is_not_presumed_dead => IdleEntry,
    roll_out_survives_its_coordinator => CoordinatorKilled,
    server_limits_are_respected => ServerLimits,
}
