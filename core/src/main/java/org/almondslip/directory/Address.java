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

  /** Number from 0 to 255. A larger one would be resolved as a host name. */
  private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)";

  private static final Pattern IP_AND_PORT =
      Pattern.compile("(" + OCTET + "(?:\\." + OCTET + "){3}):(\\d{1,5})");

  private static final int MAX_PORT = 65_535;

  /**
   * Parses an address.
   *
   * @param text the text, expected in the form {@code ip:port}
   * @return the address, or empty if the text is malformed or the port is out of range
   */
  public static Optional<Address> parse(String text) {
    Matcher matcher = IP_AND_PORT.matcher(text);
    if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
      return Optional.empty();
    }
    return Optional.of(new Address(matcher.group(1), Integer.parseInt(matcher.group(2))));
  }

  /**
   * Parses an address that has already been validated, such as one from the settings.
   *
   * @param text the text of the form {@code ip:port}
   * @return the address
   * @throws IllegalArgumentException if the text is not a valid address
   */
  public static Address of(String text) {
    return parse(text)
        .orElseThrow(
            () -> new IllegalArgumentException("not an IPv4 address and port: '" + text + "'"));
  }
}
