use super::*;

fn kind(name: &str, cpus: f64, price: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: price / 3.0,
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn request(tasks: u32, cpus: f64, spot: bool) -> CapacityRequest {
    CapacityRequest {
        need: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        tasks,
        spot,
        spot_only: false,
        types: None,
        zones: vec!["a".into(), "b".into()],
    }
}

#[test]
fn rents_only_missing_machines_of_the_cheapest_type_per_task() {
    let types = [kind("s", 4.0, 0.3), kind("l", 16.0, 1.1)];
    let offer = |kind: &str, zone: &str, spot| Offer {
        kind: kind.into(),
        zone: zone.into(),
        spot,
    };
    let mut free_capacity = FreeCapacity::default();
    free_capacity.add_machine("s", "a", true, types[0].resources());
    let requests = [request(3, 4.0, true)];
    let got = machines_to_rent(&requests, &mut free_capacity, &types, |_| false, |_| 0, 9);
    assert_eq!(got, [offer("s", "a", true), offer("s", "b", true)]);

    // Per task, one large machine for four tasks is cheaper than four small ones.
    let got = machines_to_rent(
        &[request(4, 4.0, false)],
        &mut FreeCapacity::default(),
        &types,
        |o| o.zone == "a",
        |_| 0,
        9,
    );
    assert_eq!(got, [offer("l", "b", false)]);

    // No type is large enough for the task.
    let got = machines_to_rent(
        &[request(1, 99.0, true)],
        &mut FreeCapacity::default(),
        &types,
        |_| false,
        |_| 0,
        9,
    );
    assert_eq!(got, []);
}

/// Guards against examining every machine for each request, with string comparisons: at
/// 20 times the usual load this took a third of the processor time of all controllers,
/// and the portal lost its leases.
#[test]
fn full_machines_are_not_examined_again() {
    let types = [kind("s", 4.0, 0.3)];
    let mut free_capacity = FreeCapacity::default();
    for index in 0..1000 {
        let free = if index % 2 == 0 { 0.0 } else { 4.0 };
        let free = Resources {
            cpus: free,
            gpus: 0.0,
            memory_gb: 16.0,
        };
        free_capacity.add_machine("s", "a", true, free);
    }
    let requests: Vec<_> = (0..2000)
        .map(|i| request(1, [2.0, 4.0][i % 2], true))
        .collect();
    let got = machines_to_rent(&requests, &mut free_capacity, &types, |_| true, |_| 0, 9);
    assert_eq!(got, []);
    let examined = free_capacity.examined;
    assert!(examined < 2 * 1000 + 2000, "{examined}");
}
