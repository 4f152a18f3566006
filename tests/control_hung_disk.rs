//! Control group with hosts whose disks hang.

mod group;

use group::Group;

/// Guards against a group that never forms: other hosts held entries of the first host, which
/// lost power before they were on its own disk, so that no host could form the group again.
#[test]
fn first_host_with_hanging_disk_can_lose_power() {
    for seed in 0..20 {
        let mut group = Group::new(3, seed);
        let first = group.names()[0].clone();
        group.hosts.get_mut(&first).expect("a host").disk_hangs = true;
        group.run(2_000);
        group.kill(&first);
        group.hosts.get_mut(&first).expect("a host").disk_hangs = false;
        group.start(&first);
        group.run_until("all hosts are voters", 10_000, |group| group.voter_count() == 3);
        group.commit(1);
    }
}
