package org.almondslip.bench.fault;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.almondslip.bench.load.RequestKind;

/** Faults that {@code bin/faults} causes, and which refusals each of them may lead to. */
public enum FaultCase {
  /** A router gets SIGTERM. */
  TERM_ROUTER,
  /** An agent gets SIGTERM. */
  TERM_AGENT,
  /** A router gets SIGKILL and is started again. */
  KILL_ROUTER {
    @Override
    boolean mayBreakConnections() {
      return true;
    }
  },
  /** Agents get SIGKILL and are started again; the only order desk is among their targets. */
  KILL_AGENT {
    @Override
    boolean allows(String code, RequestKind kind) {
      // Orders are not repeated once they may have run; streams are resumed on another engine.
      return kind.isOrder() && Set.of("agent-lost", "outcome-unknown", "no-target").contains(code)
          || kind == RequestKind.STOCK_CHECK && code.equals("no-target");
    }
  },
  /** An agent is stopped for longer than the time after which a connection counts as silent. */
  PAUSE_AGENT,
  /** A router is stopped for longer than the time after which a connection counts as silent. */
  PAUSE_ROUTER {
    @Override
    boolean allows(String code, RequestKind kind) {
      // After the pause the router dials its agents again. Until the only order desk is connected,
      // its callers are refused like those of a router that is cut off.
      return !kind.isModel() && code.equals("no-target");
    }
  },
  /** One request crashes each engine that runs it. */
  CRASH_TARGET {
    @Override
    boolean allows(String code, RequestKind kind) {
      return kind.isModel() && code.equals("request-crashes-targets");
    }

    @Override
    Optional<String> expectedCode() {
      return Optional.of("request-crashes-targets");
    }
  },
  /** The table service answers nothing. */
  STORE_DOWN {
    @Override
    boolean allows(String code, RequestKind kind) {
      return kind == RequestKind.KEYED_ORDER && code.equals(STORE_REFUSAL);
    }

    @Override
    Optional<String> expectedCode() {
      return Optional.of(STORE_REFUSAL);
    }
  },
  /** The table service runs requests and closes the connection of some of them. */
  STORE_LOSES_ANSWERS {
    @Override
    boolean allows(String code, RequestKind kind) {
      return kind == RequestKind.KEYED_ORDER && code.equals(STORE_REFUSAL);
    }
  },
  /** All open connections between the regions go silent for ever. */
  SILENT_CONNECTION,
  /** No byte passes between the regions for longer than the silence limit. */
  CUT_REGIONS {
    @Override
    boolean allows(String code, RequestKind kind) {
      // The only order desk is in one of the regions.
      return !kind.isModel() && code.equals("no-target");
    }
  },
  /** A ticket marks a target as leaving. */
  LEAVING_TARGET,
  /** A ticket changes a share. */
  TICKET_SPREAD,
  /** A router is started again while the table service is down. */
  COLD_START_WITHOUT_STORE {
    @Override
    boolean allows(String code, RequestKind kind) {
      return kind == RequestKind.KEYED_ORDER && code.equals(STORE_REFUSAL);
    }
  };

  /** Code of keyed orders that are refused because their claim cannot be written. */
  private static final String STORE_REFUSAL = "order-store-unavailable";

  /**
   * Finds a case by its name.
   *
   * @param label the name
   * @return the case, or empty when there is none
   */
  public static Optional<FaultCase> ofLabel(String label) {
    return Arrays.stream(values()).filter(each -> each.label().equals(label)).findFirst();
  }

  /**
   * Returns the name.
   *
   * @return the name
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns whether the fault may lead to a refusal.
   *
   * @param code the code of the refusal
   * @param kind the kind of the refused request
   * @return false when such a refusal is a failure of the fleet
   */
  boolean allows(String code, RequestKind kind) {
    return false;
  }

  /**
   * Returns whether callers may lose the connections to the router that is struck.
   *
   * @return true when they may
   */
  boolean mayBreakConnections() {
    return false;
  }

  /**
   * Returns a code without which the fault has not struck.
   *
   * @return the code, or empty when the fault need not lead to a refusal
   */
  Optional<String> expectedCode() {
    return Optional.empty();
  }
}
