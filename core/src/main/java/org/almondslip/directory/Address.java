package org.almondslip.directory;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * IPv4 address and port.
 *
 * @param host the IP address
 * @param port the port
 */
public record Address(String host, int port) {

  /** Text form. */
  private static final Pattern TEXT = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");

  /** Largest TCP port. */
  private static final int MAX_PORT = 65_535;

  /**
   * Reads an address.
   *
   * @param text the text of the form {@code ip:port}
   * @return the address, empty when the text is none
   */
  public static Optional<Address> parse(String text) {
    Matcher matcher = TEXT.matcher(text);
    if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
      return Optional.empty();
    }
    return Optional.of(new Address(matcher.group(1), Integer.parseInt(matcher.group(2))));
  }

  /**
   * Reads an address that was checked before, such as one of the settings.
   *
   * @param text the text of the form {@code ip:port}
   * @return the address
   */
  public static Address of(String text) {
    return parse(text)
        .orElseThrow(() -> new IllegalArgumentException("not an address: '" + text + "'"));
  }
}
