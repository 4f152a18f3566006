//! Choice between the replicas and the primary.

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

/// View with the primary `p` and replicas `r0`, `r1`, ... in the given domains.
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
        cluster.instance("p", "korba");
        for (index, domain) in replica_domains.iter().enumerate() {
            cluster.instance(&format!("r{index}"), domain);
        }
        cluster
    }

    fn instance(&mut self, id: &str, domain: &str) {
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
        let need = need(&service, &local, mark);
        let settings = RoutingSettings::default();
        select_instance(
            Millis(now),
            &self.0,
            hints,
            &need,
            &settings,
            &mut SmallRng::seed_from_u64(7),
        )
    }
}

fn need<'a>(
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

/// Hints that saw `r0` advance by one position per millisecond to `1/100`.
fn advancing() -> Hints {
    let mut hints = Hints::default();
    for step in 0..=100 {
        hints.record_position(Millis(900 + step), &"r0".into(), Mark::new(1, step), 20);
    }
    hints
}

#[test]
fn replica_must_have_passed_the_mark() {
    let cluster = Cluster::new(&["nabeul"]);
    let hints = advancing();
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

/// Guards against a replica that is never asked again once its hint is old.
#[test]
fn old_hint_is_probed_at_intervals() {
    let cluster = Cluster::new(&["nabeul"]);
    let mut hints = advancing();
    assert_eq!(cluster.select(5_000, &hints, Some(Mark::new(2, 900))), replica("r0"));
    hints.record_start(Millis(5_000), &"r0".into());
    assert_eq!(cluster.select(5_010, &hints, None), primary());
    assert_eq!(cluster.select(5_020, &hints, None), replica("r0"));
    hints.record_position(Millis(5_020), &"r0".into(), Mark::new(1, 100), 4_000);
    assert_eq!(cluster.select(5_500, &hints, None), primary());
}

type Fault = fn(&mut Cluster, &mut Hints);

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
        let (mut cluster, mut hints) = (Cluster::new(&["nabeul"]), advancing());
        assert_eq!(cluster.select(1_010, &hints, None), replica("r0"));
        fault(&mut cluster, &mut hints);
        assert_ne!(cluster.select(1_010, &hints, None), replica("r0"), "{name}");
    }
    let (cluster, mut hints) = (Cluster::new(&["nabeul"]), advancing());
    hints.record_failure(Millis(1_000), &"r0".into(), &RoutingSettings::default());
    assert_eq!(cluster.select(2_001, &hints, None), replica("r0"), "penalty decays");
}

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

/// Guards against a choice whose cost grows with the instances of other services,
/// and against an index that differs from the scan.
#[test]
fn index_agrees_with_the_scan_and_cost_is_printed() {
    const ROUNDS: u32 = 200;
    let mut cluster = Cluster::new(&["nabeul", "korba"]);
    for number in 0..15_300 {
        cluster.instance(&format!("other{number}"), "korba");
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
    let hints = advancing();
    let time = |run: &dyn Fn() -> Result<Selection, SelectionError>| {
        let start = Instant::now();
        assert!((0..ROUNDS).all(|_| run().is_ok()));
        start.elapsed() / ROUNDS
    };
    let scan = time(&|| cluster.select(1_010, &hints, None));
    let indexed = time(&|| {
        let local = FailureDomain::from("nabeul");
        let need = need(&service, &local, None);
        let mut rng = SmallRng::seed_from_u64(7);
        let instances =
            index.get(&service).ok_or(SelectionError::NoPrimary { service: "x".into() })?;
        select_among(Millis(1_010), instances, &hints, &need, &Default::default(), &mut rng)
    });
    println!("15,300 instances: index built in {built:?}, choice {scan:?}, indexed {indexed:?}");
}

/// Simulated mean delay of reads with two slots per instance.
fn mean_delay(pick: &mut dyn FnMut(u64, &Hints) -> InstanceId) -> f64 {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut hints = Hints::default();
    for id in ["r0", "r1", "r2"] {
        hints.record_position(Millis(0), &id.into(), Mark::new(1, 1), 10);
    }
    let mut busy: IndexMap<InstanceId, Vec<u64>> = IndexMap::new();
    let mut ends: Vec<(u64, InstanceId, u64)> = Vec::new();
    let (mut total, mut now) = (0, 0);
    const READS: u64 = 20_000;
    for _ in 0..READS {
        now += rng.random_range(0..2_400);
        ends.retain(|(end, instance, latency)| {
            let open = *end > now;
            if !open {
                hints.record_answer(instance, *latency);
                hints.record_position(Millis(now / 1_000), instance, Mark::new(1, 1), 10);
            }
            open
        });
        let instance = pick(now / 1_000, &hints);
        hints.record_start(Millis(now / 1_000), &instance);
        let slots = busy.entry(instance.clone()).or_insert_with(|| vec![0, 0]);
        let network = if instance.as_str() == "r0" { 1_000 } else { 8_000 };
        slots.sort_unstable();
        let slot = &mut slots[0];
        *slot = (*slot).max(now + network / 2) + rng.random_range(1_000..3_000);
        let latency = *slot + network / 2 - now;
        ends.push((now + latency, instance, latency));
        total += latency;
    }
    total as f64 / READS as f64
}

/// Guards against a choice that is worse than a random allowed replica.
#[test]
fn choice_beats_a_random_replica() {
    let cluster = Cluster::new(&["nabeul", "hammamet", "korba"]);
    let mut rng = SmallRng::seed_from_u64(3);
    let random =
        mean_delay(&mut |_, _| InstanceId::from(Arc::from(format!("r{}", rng.random_range(0..3)))));
    let chosen = mean_delay(&mut |now, hints| match cluster.select(now, hints, None) {
        Ok(Selection::Replica { instance }) => instance,
        other => panic!("{other:?}"),
    });
    println!("mean read delay: random replica {random:.0} us, chosen replica {chosen:.0} us");
    assert!(chosen < random);
}
