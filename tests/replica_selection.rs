//! Selection between the replicas and the primary.

use std::{sync::Arc, time::Instant};

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    ids::{Epoch, FailureDomain, Incarnation, InstanceId, Mark, Service, Term},
    routing::{
        hints::Hints,
        instances::{InstanceIndex, ServiceInstances},
        replica_selection::{
            ReadConstraints, Selection, SelectionError, select_among, select_instance,
        },
    },
    settings::routing::RoutingSettings,
    state::model::{Assignment, ClusterView, Drain, Group, Host, Instance, InstanceSpec},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// View with the primary `p` and replicas `r0`, `r1`, ... in the given failure domains.
struct Cluster(ClusterView);

impl Cluster {
    fn new(replica_domains: &[&str]) -> Self {
        let mut view = ClusterView::default();
        let host = Host {
            id: "h".into(),
            incarnation: Incarnation(1),
            failure_domain: "nabeul".into(),
            peer_addr: String::new(),
            bus_addr: String::new(),
            leaving: false,
        };
        view.hosts.insert(host.id.clone(), host);
        let group = Group { term: Term(1), primary: Some("p".into()), promotion: None };
        view.groups.insert("jobs".into(), group);
        let mut cluster = Self(view);
        cluster.add_instance("p", "korba");
        for (index, domain) in replica_domains.iter().enumerate() {
            cluster.add_instance(&format!("r{index}"), domain);
        }
        cluster
    }

    fn add_instance(&mut self, id: &str, domain: &str) {
        let spec = InstanceSpec {
            id: id.into(),
            service: "jobs".into(),
            failure_domain: domain.into(),
            incarnation: Incarnation(1),
            sql_addr: String::new(),
            http_addr: String::new(),
            slots: 2,
            connections: 30,
            leaving: false,
        };
        let owner = Assignment {
            host: "h".into(),
            incarnation: Incarnation(1),
            epoch: Epoch(1),
            connections: 30,
        };
        self.0.instances.insert(id.into(), Instance { spec, owner: Some(owner), previous: None });
    }

    fn instance_mut(&mut self, id: &str) -> &mut Instance {
        &mut self.0.instances[&InstanceId::from(id)]
    }

    fn select(
        &self,
        now: u64,
        hints: &Hints,
        mark: Option<Mark>,
    ) -> Result<Selection, SelectionError> {
        let (service, local) = (Service::from("jobs"), FailureDomain::from("nabeul"));
        let constraints = constraints(&service, &local, mark);
        let settings = RoutingSettings::default();
        select_instance(
            Millis(now),
            &self.0,
            hints,
            &constraints,
            &settings,
            &mut SmallRng::seed_from_u64(7),
        )
    }
}

fn constraints<'a>(
    service: &'a Service,
    local_domain: &'a FailureDomain,
    mark: Option<Mark>,
) -> ReadConstraints<'a> {
    let remaining = Millis(5_000);
    ReadConstraints { service, mark, max_staleness_ms: Some(1_000), local_domain, remaining }
}

fn replica(id: &str) -> Result<Selection, SelectionError> {
    Ok(Selection::Replica { instance: id.into() })
}

fn primary() -> Result<Selection, SelectionError> {
    Ok(Selection::Primary { instance: "p".into() })
}

/// Hints under which `r0` advanced by one position per millisecond to `1/100` at 1,000 ms.
fn hints_of_advancing_replica() -> Hints {
    let mut hints = Hints::default();
    for step in 0..=100 {
        hints.record_position(Millis(900 + step), &"r0".into(), Mark::new(1, step), 20);
    }
    hints
}

/// Guards against a read from a replica that has not reached the session's last write,
/// and against a wait for one that is too far behind.
#[test]
fn replica_must_have_passed_the_mark() {
    let cluster = Cluster::new(&["nabeul"]);
    let hints = hints_of_advancing_replica();
    let wait = Ok(Selection::WaitForReplica { instance: "r0".into(), max_wait: Millis(50) });
    let cases = [
        (Mark::new(1, 100), replica("r0")),
        (Mark::new(1, 104), replica("r0")),
        (Mark::new(1, 125), wait),
        (Mark::new(1, 900), primary()),
        (Mark::new(2, 50), primary()),
    ];
    for (mark, expected) in cases {
        assert_eq!(cluster.select(1_010, &hints, Some(mark)), expected, "{mark}");
    }
}

/// Guards against a replica that is never tried again once its hint is out of date.
#[test]
fn outdated_hint_is_probed_at_intervals() {
    let cluster = Cluster::new(&["nabeul"]);
    let mut hints = hints_of_advancing_replica();
    assert_eq!(cluster.select(5_000, &hints, Some(Mark::new(2, 900))), replica("r0"));
    hints.record_start(Millis(5_000), &"r0".into());
    assert_eq!(cluster.select(5_010, &hints, None), primary());
    assert_eq!(cluster.select(5_020, &hints, None), replica("r0"));
    hints.record_position(Millis(5_020), &"r0".into(), Mark::new(1, 100), 4_000);
    assert_eq!(cluster.select(5_500, &hints, None), primary());
}

type Fault = fn(&mut Cluster, &mut Hints);

/// Guards against reads at replicas that drain, leave, have no live owner or failed
/// recently, and against a penalty that never ends.
#[test]
fn unusable_replicas_are_skipped() {
    let faults: [(&str, Fault); 5] = [
        ("drain", |c, _| c.0.desired.drains.push(Drain::Instance("r0".into()))),
        ("leaving", |c, _| c.instance_mut("r0").spec.leaving = true),
        ("no owner", |c, _| c.instance_mut("r0").owner = None),
        ("owner restarted", |c, _| c.0.hosts[0].incarnation = Incarnation(2)),
        ("failed", |_, h| {
            h.record_failure(Millis(1_000), &"r0".into(), &RoutingSettings::default())
        }),
    ];
    for (name, fault) in faults {
        let (mut cluster, mut hints) = (Cluster::new(&["nabeul"]), hints_of_advancing_replica());
        assert_eq!(cluster.select(1_010, &hints, None), replica("r0"));
        fault(&mut cluster, &mut hints);
        assert_ne!(cluster.select(1_010, &hints, None), replica("r0"), "{name}");
    }
    let (cluster, mut hints) = (Cluster::new(&["nabeul"]), hints_of_advancing_replica());
    hints.record_failure(Millis(1_000), &"r0".into(), &RoutingSettings::default());
    assert_eq!(cluster.select(2_001, &hints, None), replica("r0"), "penalty decays");
}

/// Guards against an error that does not tell a missing primary from one without owner.
#[test]
fn missing_primary_is_a_typed_error() {
    let mut cluster = Cluster::new(&[]);
    cluster.instance_mut("p").owner = None;
    let no_owner = SelectionError::NoOwner { instance: "p".into() };
    assert_eq!(cluster.select(0, &Hints::default(), None), Err(no_owner));
    cluster.0.groups[0].primary = None;
    let no_primary = SelectionError::NoPrimary { service: "jobs".into() };
    assert_eq!(cluster.select(0, &Hints::default(), None), Err(no_primary));
}

/// Guards against an index that differs from the scan. Prints the cost of both, because
/// the cost of a selection must not grow with the instances of other services.
#[test]
fn index_agrees_with_the_scan_and_cost_is_printed() {
    const ROUNDS: u32 = 200;
    let mut cluster = Cluster::new(&["nabeul", "korba"]);
    for number in 0..15_300 {
        cluster.add_instance(&format!("other{number}"), "korba");
        cluster.instance_mut(&format!("other{number}")).spec.service =
            format!("service{}", number / 3).into();
    }
    let (view, service) = (&cluster.0, Service::from("jobs"));
    let start = Instant::now();
    let index = InstanceIndex::build(view);
    let built = start.elapsed();
    assert_eq!(index.get(&service), Some(&ServiceInstances::of(view, &service)));
    let other = Service::from("service7");
    assert_eq!(index.get(&other), Some(&ServiceInstances::of(view, &other)));
    let hints = hints_of_advancing_replica();
    let time = |run: &dyn Fn() -> Result<Selection, SelectionError>| {
        let start = Instant::now();
        assert!((0..ROUNDS).all(|_| run().is_ok()));
        start.elapsed() / ROUNDS
    };
    let scan = time(&|| cluster.select(1_010, &hints, None));
    let indexed = time(&|| {
        let local = FailureDomain::from("nabeul");
        let constraints = constraints(&service, &local, None);
        let mut rng = SmallRng::seed_from_u64(7);
        let instances =
            index.get(&service).ok_or(SelectionError::NoPrimary { service: "x".into() })?;
        select_among(Millis(1_010), instances, &hints, &constraints, &Default::default(), &mut rng)
    });
    println!(
        "15,300 instances: index built in {built:?}, selection by scan {scan:?}, by index {indexed:?}"
    );
}

/// Mean delay of simulated reads in microseconds, with two slots per instance.
fn mean_delay_us(select: &mut dyn FnMut(u64, &Hints) -> InstanceId) -> f64 {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut hints = Hints::default();
    for id in ["r0", "r1", "r2"] {
        hints.record_position(Millis(0), &id.into(), Mark::new(1, 1), 10);
    }
    let mut slots_busy_until: IndexMap<InstanceId, Vec<u64>> = IndexMap::new();
    let mut in_flight: Vec<(u64, InstanceId, u64)> = Vec::new();
    let (mut total_us, mut now_us) = (0, 0);
    const READS: u64 = 20_000;
    for _ in 0..READS {
        now_us += rng.random_range(0..2_400);
        in_flight.retain(|(end_us, instance, latency_us)| {
            let is_open = *end_us > now_us;
            if !is_open {
                hints.record_answer(instance, *latency_us);
                hints.record_position(Millis(now_us / 1_000), instance, Mark::new(1, 1), 10);
            }
            is_open
        });
        let instance = select(now_us / 1_000, &hints);
        hints.record_start(Millis(now_us / 1_000), &instance);
        let slots = slots_busy_until.entry(instance.clone()).or_insert_with(|| vec![0, 0]);
        let round_trip_us = if instance.as_str() == "r0" { 1_000 } else { 8_000 };
        slots.sort_unstable();
        let slot_us = &mut slots[0];
        *slot_us = (*slot_us).max(now_us + round_trip_us / 2) + rng.random_range(1_000..3_000);
        let latency_us = *slot_us + round_trip_us / 2 - now_us;
        in_flight.push((now_us + latency_us, instance, latency_us));
        total_us += latency_us;
    }
    total_us as f64 / READS as f64
}

/// Guards against a selection that is slower on average than a random eligible replica.
#[test]
fn selection_beats_a_random_replica() {
    let cluster = Cluster::new(&["nabeul", "hammamet", "korba"]);
    let mut rng = SmallRng::seed_from_u64(3);
    let random = mean_delay_us(&mut |_, _| {
        InstanceId::from(Arc::from(format!("r{}", rng.random_range(0..3))))
    });
    let selected = mean_delay_us(&mut |now, hints| match cluster.select(now, hints, None) {
        Ok(Selection::Replica { instance }) => instance,
        other => panic!("{other:?}"),
    });
    println!("mean read delay: random replica {random:.0} us, selected replica {selected:.0} us");
    assert!(selected < random);
}
