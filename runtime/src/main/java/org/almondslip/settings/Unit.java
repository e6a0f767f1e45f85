package org.almondslip.settings;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/** Units of durations and sizes in settings. */
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

  private final String symbol;

  /** Size in the base unit of the kind. */
  private final long factor;

  private final Kind kind;

  /** Quantities that a unit can measure. */
  enum Kind {
    /** Duration in milliseconds. */
    DURATION("ms"),
    /** Size in bytes. */
    SIZE("B");

    private final String baseSymbol;

    /**
     * Creates a kind.
     *
     * @param baseSymbol the symbol of the base unit
     */
    Kind(String baseSymbol) {
      this.baseSymbol = baseSymbol;
    }

    /**
     * Returns the symbol of the base unit.
     *
     * @return the symbol
     */
    String baseSymbol() {
      return baseSymbol;
    }
  }

  /**
   * Creates a unit.
   *
   * @param symbol the symbol in the settings file
   * @param factor the size in the base unit of the kind
   * @param kind the quantity that the unit measures
   */
  Unit(String symbol, long factor, Kind kind) {
    this.symbol = symbol;
    this.factor = factor;
    this.kind = kind;
  }

  /**
   * Returns the size of the unit in the base unit of its kind.
   *
   * @return the factor
   */
  long factor() {
    return factor;
  }

  /**
   * Finds a unit by its symbol.
   *
   * @param symbol the symbol in the settings file
   * @param kind the quantity that the unit measures
   * @return the unit, or empty if the kind has no such unit
   */
  static Optional<Unit> ofSymbol(String symbol, Kind kind) {
    return Arrays.stream(values())
        .filter(unit -> unit.kind == kind && unit.symbol.equals(symbol))
        .findFirst();
  }

  /**
   * Returns the symbols of the units of a kind.
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
