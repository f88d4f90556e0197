"""End-to-end scenarios with real processes on loopback.

Usage: e2e_test.py SCENARIO --daemon PROGRAM --ctl PROGRAM --server PROGRAM --platform PROGRAM
"""

import argparse
import shutil
import signal
import time

from fleet import Fleet, wait_for
from load import Load, check_records, new_id, send

FROZEN_S = 8  # longer than the sum of the node lease, its margin and the task lease


def whole_path(programs):
    """Guards against any fault between applying a configuration folder and answering a request.

    Calls every gateway, with and without valid keys, and uses every group of godwitctl commands.
    """
    with Fleet(programs, 3) as fleet:
        fleet.set_up()
        weavers, dyers = fleet.keys["weavers"], fleet.keys["dyers"]
        for name, address in fleet.http.items():
            status, body, _ = send(address, "quotes", weavers, body='{"n": 1}')
            assert (status, body["body"]) == (200, '{"n": 1}'), (name, status, body)
            assert send(address, "notices")[0] == 200
            assert send(address, "quotes")[0] == 401
            assert send(address, "quotes", "wrong")[0] == 401
            assert send(address, "batches", weavers)[0] == 403
            assert send(address, "nothing", weavers)[0] == 404
            assert send(address, "batches", dyers, new_id("dyers"))[0] == 200
        id = new_id("weavers")
        answers = [send(address, "orders", weavers, id) for address in fleet.http.values()]
        assert [status for status, _, _ in answers].count(200) >= 1, answers
        assert all(status in (200, 409) for status, _, _ in answers), answers
        fleet.ctl("approve", "nothing.json", key="customer", code=1)
        fleet.ctl("apply", fleet.config, "--base", "0")  # nothing to change
        check_conflict(fleet)
        check_wave(fleet)
        check_operator_commands(fleet)
        fleet.ctl("keys", "withdraw", "weavers-1")
        for address in fleet.http.values():
            wait_for("401", lambda: send(address, "quotes", weavers)[0] == 401)
        assert fleet.ctl("report", "burn") and fleet.ctl("history")["history"]
        fleet.kill("n3", signal.SIGTERM)
        assert fleet.processes["n3"].wait(60) == 0


def check_conflict(fleet):
    """Checks that an old base revision is refused and a veto leaves the configuration in force."""
    in_force = fleet.status()["in_force"]
    with open(f"{fleet.config}/teams.json", "a") as file:
        file.write("// a comment\n")
    fleet.ctl("apply", fleet.config, "--base", "0", code=1)
    fleet.ctl("apply", fleet.config)
    fleet.ctl("approve", "teams.json", code=1)  # only a customer key may approve
    fleet.ctl("veto", "teams.json", key="customer")
    assert fleet.status()["in_force"] == in_force


def check_wave(fleet):
    """Checks that a wave reboots every VM without interrupting the tasks of callers."""
    with Load(fleet, 8) as load:
        load.wait_for_answers(1)
        fleet.ctl("wave", "start", "all")
        wait_for("the wave", lambda: fleet.ctl("wave", "status")["all"]["state"] == "done", 180)
        load.wait_for_answers(1)
    check_records(load)
    ends = {record["end"] for record in fleet.fetch_starts()["starts"]}
    assert not ends & {"cut_off", "lapsed", "stopped"}, ends
    wave = fleet.ctl("wave", "status")["all"]
    assert len(wave["done"]) == 8 and not wave["failed"], wave


def check_operator_commands(fleet):
    """Checks the commands for drains, waves and keys, including calls that must be refused."""
    fleet.ctl("drain", "q0", "--follow")
    assert fleet.status()["vms"]["q0"]["operation"]["phase"] == "drained"
    fleet.ctl("drain", "q0", code=1)
    fleet.ctl("undrain", "q0")
    fleet.ctl("undrain", "q0", code=1)
    fleet.wait_for_service()
    fleet.ctl("wave", "pause", "all", code=1)
    fleet.ctl("wave", "start", "all")
    fleet.ctl("wave", "pause", "all", "--reason", "a test")
    assert fleet.ctl("wave", "status", "all")["all"]["reason"] == "a test"
    fleet.ctl("wave", "resume", "all")
    fleet.ctl("wave", "cancel", "all")
    fleet.ctl("wave", "start", "nothing", code=1)
    fleet.ctl("keys", "grant", "operator-2", "--role", "operator")
    fleet.ctl("keys", "grant", "customer-2", "--role", "customer", code=1)
    fleet.ctl("keys", "grant", "customer-2", "--role", "customer", key="customer")
    assert len(fleet.ctl("keys", "list")["keys"]) == 6
    fleet.ctl("keys", "grant", "nobody", code=2)
    assert fleet.ctl("diff", fleet.config) == {"changed": False, "diff": ""}
    assert fleet.ctl("validate", fleet.config)["ok"]
    fleet.ctl("review", "--content")
    fleet.ctl("wave", "status", "--follow", code=2)


def five_daemons(programs):
    """Guards against a group of five voters that stops when two of them are lost."""
    with Fleet(programs, 5) as fleet:
        fleet.set_up()
        with Load(fleet) as load:
            load.wait_for_answers(2)
            for name in ("n2", "n4"):
                fleet.kill(name)
            load.wait_for_answers(2)
        check_records(load)


def run_with_fault(programs, fault, recover=None):
    """Sends requests before, during and after a fault, then checks the records of all of them.

    `fault` takes the fleet, injects the fault and returns what `recover` needs to end it.
    """
    with Fleet(programs, 3) as fleet:
        fleet.set_up()
        revision = fleet.status()["revision"]
        with Load(fleet) as load:
            load.wait_for_answers(2)
            victim = fault(fleet)
            begin = fleet.last_signal_at
            load.wait_for_answers(2)
            if recover:
                recover(fleet, victim)
                load.wait_for_answers(2)
        recovery_s = load.recovery_time(begin)
        print(f"calls of every kind were answered within {recovery_s:.2f} s after the fault")
        check_records(load)
        fleet.wait_for_voters()
        assert fleet.status()["revision"] == revision
        fleet.wait_for_service()


def kill_by_role(role):
    """Returns a fault that kills the leader, another voter, or the gateway that owns a pool."""
    def fault(fleet):
        leader = fleet.status()["leader"]
        others = [name for name in fleet.names if name != leader]
        victim = leader if role == "leader" else others[0]
        if role == "gateway":
            owner = fleet.status()["pools"]["quoting"]["owner"]
            victim = next(name for name in fleet.names if owner.startswith(name + "-"))
        fleet.kill(victim)
        return victim
    return fault


def restart(fleet, victim):
    fleet.start(victim)
    wait_for("the restarted node", lambda: any(
        node["node"] == victim and not node["lapsed"]
        for node in fleet.status()["nodes"].values()))


def killed_leader(programs):
    """Guards against requests that are lost, repeated or not admitted after the leader dies."""
    run_with_fault(programs, kill_by_role("leader"), restart)


def killed_voter(programs):
    """Guards against a group that stops when one voter is lost."""
    run_with_fault(programs, kill_by_role("voter"), restart)


def killed_gateway(programs):
    """Guards against requests that run twice because the owner of their pool dies."""
    run_with_fault(programs, kill_by_role("gateway"), restart)


def frozen_node(programs):
    """Guards against a node that resumes after a pause and still acts on its expired leases."""
    def freeze(fleet):
        owner = fleet.status()["pools"]["quoting"]["owner"]
        victim = next(name for name in fleet.names if owner.startswith(name + "-"))
        fleet.kill(victim, signal.SIGSTOP)
        time.sleep(FROZEN_S)
        return victim
    run_with_fault(programs, freeze, lambda fleet, victim: fleet.kill(victim, signal.SIGCONT))


def lost_data_folder(programs):
    """Guards against a node that loses its log and votes again under its old replica id.

    Such a node could vote twice in one term, or lack entries that it acknowledged.
    """
    def lose(fleet):
        victim = kill_by_role("voter")(fleet)
        old = fleet.ctl("members")
        shutil.rmtree(fleet.data_folder(victim))
        return victim, {id for id, member in old.items() if member["node"] == victim}

    def recover(fleet, lost):
        victim, old = lost
        restart(fleet, victim)
        wait_for("a new replica in place of the old one", lambda: any(
            node == victim and id not in old for node, id in fleet.voters().items()))
        assert not old & set(fleet.ctl("members"))
    run_with_fault(programs, lose, recover)


def disk_full(programs):
    """Guards against a voter that acknowledges entries that it could not write to its disk."""
    def fill(fleet):
        victim = kill_by_role("voter")(fleet)
        fleet.start(victim, file_bytes=64 * 1024)
        assert wait_for("the exit of the daemon", lambda: fleet.processes[victim].poll(), 120) != 0
        with open(f"{fleet.folder}/{victim}.log", errors="replace") as log:
            assert "storage_failed" in log.read()
        return victim
    run_with_fault(programs, fill, restart)


SCENARIOS = [whole_path, five_daemons, killed_leader, killed_voter, killed_gateway, frozen_node,
             lost_data_folder, disk_full]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("scenario", choices=[scenario.__name__ for scenario in SCENARIOS])
    for program in ("daemon", "ctl", "server", "platform"):
        parser.add_argument(f"--{program}", required=True)
    arguments = parser.parse_args()
    globals()[arguments.scenario](arguments)
    print("passed:", arguments.scenario)


if __name__ == "__main__":
    main()
