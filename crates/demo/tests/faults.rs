//! Each fault brought about on whole deployments: nothing may break.

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
    a_repeated_key_runs_once => RepeatedKeys,
    a_killed_agent_repeats_no_order => AgentKilled,
    an_outage_of_the_store_stops_orders_only => StoreDown,
    a_killed_entry_loses_no_bill => EntryKilled,
    a_forged_pin_is_refused => ForgedPins,
    sessions_outlive_every_process => EverythingReplaced,
    configurations_reach_an_entry_cut_off_from_the_store => CutFromStore,
    planned_stops_cut_nothing => PlannedStops,
    a_cut_answer_is_repeated_or_told => CutAnswers,
    stale_orders_are_not_carried_out => StaleOrders,
    an_idle_entry_is_not_taken_for_gone => IdleEntry,
    a_roll_out_outlives_its_conductor => CoordinatorKilled,
    servers_that_name_a_limit_get_no_more => ServerLimits,
}
