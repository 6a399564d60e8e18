//! Price of server time from the utilization of a service's servers.

use pondwalk_decide::direct::Congestion;
use quickcheck::quickcheck;

#[test]
fn the_price_rises_with_the_utilization_between_its_bounds() {
    // Guards against a price on a calm day, when larger models cost the other callers nothing.
    assert_eq!(Congestion::new(Some(0.9)).price(0), 0.0);
    assert!((Congestion::new(Some(1.1)).price(0) - 0.5).abs() < 1e-9);
    assert_eq!(Congestion::new(Some(1.3)).price(0), 1.0);
    assert_eq!(Congestion::new(Some(5.0)).price(2), 1.0, "never above the highest price");
}

#[test]
fn less_urgent_requests_pay_more() {
    // Guards against a burst in which urgent and other requests lose the larger models alike.
    let congestion = Congestion::new(Some(1.1));
    let prices = [0, 1, 2, 9].map(|priority| congestion.price(priority));
    assert!(prices[0] < prices[1] && prices[1] < prices[2] && prices[2] == prices[3]);
}

#[test]
fn without_a_known_utilization_there_is_no_price() {
    // Guards against a view that is not fresh being treated as full.
    for utilization in [None, Some(f64::NAN), Some(f64::INFINITY)] {
        assert_eq!(Congestion::new(utilization).price(2), 0.0);
    }
}

quickcheck! {
    fn the_price_is_a_fraction_and_never_falls(utilization: f64, more: f64, priority: u8) -> bool {
        let price = |utilization| Congestion::new(Some(utilization)).price(priority);
        let (low, high) = (utilization.min(more), utilization.max(more));
        !(low.is_finite() && high.is_finite())
            || (0.0..=1.0).contains(&price(low)) && price(low) <= price(high)
    }
}
