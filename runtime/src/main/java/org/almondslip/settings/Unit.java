package org.almondslip.settings;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/** Units of settings. */
enum Unit {
  /** Milliseconds. */
  MILLISECOND("ms", 1, Kind.DURATION),
  /** Seconds. */
  SECOND("s", 1_000, Kind.DURATION),
  /** Minutes. */
  MINUTE("min", 60_000, Kind.DURATION),
  /** Hours. */
  HOUR("h", 3_600_000, Kind.DURATION),
  /** Bytes. */
  BYTE("B", 1, Kind.SIZE),
  /** Kibibytes. */
  KIBIBYTE("KiB", 1 << 10, Kind.SIZE),
  /** Mebibytes. */
  MEBIBYTE("MiB", 1 << 20, Kind.SIZE);

  /** Text in the file. */
  private final String symbol;

  /** Size in the base unit of its kind. */
  private final long factor;

  /** What the unit measures. */
  private final Kind kind;

  /** What a unit measures. */
  enum Kind {
    /** Time, in milliseconds. */
    DURATION("ms"),
    /** Memory or data, in bytes. */
    SIZE("B");

    /** Symbol of the base unit. */
    private final String base;

    /**
     * Creates a kind.
     *
     * @param base the symbol of the base unit
     */
    Kind(String base) {
      this.base = base;
    }

    /**
     * Returns the symbol of the base unit.
     *
     * @return the symbol
     */
    String base() {
      return base;
    }
  }

  /**
   * Creates a unit.
   *
   * @param symbol the text in the file
   * @param factor the size in the base unit of its kind
   * @param kind what the unit measures
   */
  Unit(String symbol, long factor, Kind kind) {
    this.symbol = symbol;
    this.factor = factor;
    this.kind = kind;
  }

  /**
   * Returns the size in the base unit of its kind.
   *
   * @return the factor
   */
  long factor() {
    return factor;
  }

  /**
   * Finds a unit.
   *
   * @param symbol the text in the file
   * @param kind what it should measure
   * @return the unit, or empty when there is none
   */
  static Optional<Unit> ofSymbol(String symbol, Kind kind) {
    return Arrays.stream(values())
        .filter(unit -> unit.kind == kind && unit.symbol.equals(symbol))
        .findFirst();
  }

  /**
   * Lists the symbols of a kind.
   *
   * @param kind the kind
   * @return the symbols, separated by commas
   */
  static String symbols(Kind kind) {
    return Arrays.stream(values())
        .filter(unit -> unit.kind == kind)
        .map(unit -> unit.symbol)
        .collect(Collectors.joining(", "));
  }
}
