package org.almondslip.error;

/**
 * One fault in a file that a person wrote.
 *
 * @param file the name of the file
 * @param line the line, starting at 1; 0 when it is not known
 * @param field the path of the field, such as {@code listen.port}
 * @param message what is wrong and what is expected
 */
public record Finding(String file, int line, String field, String message) {

  @Override
  public String toString() {
    return file + ":" + line + ": " + field + ": " + message;
  }
}
