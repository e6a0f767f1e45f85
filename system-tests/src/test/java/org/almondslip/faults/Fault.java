package org.almondslip.faults;

/** Faults that can strike the agent that holds a request, its router, or their surroundings. */
enum Fault {
  KILL_AGENT {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.killAgent(agent);
    }
  },
  RESTART_AGENT {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.killAgent(agent);
      fleet.timeline().after(SHORT_MILLIS, () -> fleet.restartAgent(agent));
    }
  },
  PAUSE_AGENT {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.agent(agent).pause();
    }
  },
  PAUSE_AGENT_BRIEFLY {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      AgentNode paused = fleet.agent(agent);
      paused.pause();
      fleet.timeline().after(SHORT_MILLIS, paused::resume);
    }
  },
  KILL_ROUTER {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.killRouter(router);
    }
  },
  RESTART_ROUTER {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.killRouter(router);
      fleet.timeline().after(SHORT_MILLIS, () -> fleet.restartRouter(router));
    }
  },
  PAUSE_ROUTER {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      RouterNode paused = fleet.router(router);
      paused.pause();
      fleet.timeline().after(LONG_MILLIS, paused::resume);
    }
  },
  CUT_BOTH_WAYS {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      CUT_TO_AGENT.strike(fleet, router, agent);
      CUT_TO_ROUTER.strike(fleet, router, agent);
    }
  },
  CUT_TO_AGENT {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.network().cutOneWay(fleet.router(router), fleet.agent(agent));
    }
  },
  CUT_TO_ROUTER {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.network().cutOneWay(fleet.agent(agent), fleet.router(router));
    }
  },
  SILENT_CONNECTION {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.silenceLinks(agent);
    }
  },
  SLOW_NETWORK {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.network().setDelayMillis(SHORT_MILLIS / 2);
    }
  },
  CRASH_TARGET {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.target(agent).crash();
    }
  },
  DRAIN_AGENT {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      AgentNode node = fleet.agent(agent);
      node.run(
          () -> node.logic().setDrain(org.almondslip.execution.DrainReason.PLANNED_STOP, true));
    }
  },
  MARK_LEAVING {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.markLeaving(agent);
    }
  },
  DRAIN_ROUTER {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.router(router).run(() -> fleet.router(router).logic().onDrain());
    }
  },
  STORE_DOWN {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.store().setMode(FakeTableStore.Mode.DOWN);
    }
  },
  STORE_SLOW {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.store().setMode(FakeTableStore.Mode.SLOW);
    }
  },
  STORE_LOSES_ANSWERS {
    @Override
    void strike(FaultFleet fleet, int router, int agent) {
      fleet.store().setMode(FakeTableStore.Mode.LOSES_ANSWERS);
    }
  };

  /** Duration of short faults, in milliseconds: well below the silence limit. */
  private static final long SHORT_MILLIS = 700;

  /** Duration of long faults, in milliseconds: above the silence limit. */
  private static final long LONG_MILLIS = 6_000;

  abstract void strike(FaultFleet fleet, int router, int agent);

  /** Returns whether the fault is a planned stop, which must not cut off requests in progress. */
  boolean planned() {
    return this == DRAIN_AGENT || this == MARK_LEAVING || this == DRAIN_ROUTER;
  }

  /** Returns whether the router of a request goes away, so that its caller gets no answer. */
  boolean killsRouter() {
    return this == KILL_ROUTER || this == RESTART_ROUTER;
  }
}
