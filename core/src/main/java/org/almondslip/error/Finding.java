package org.almondslip.error;

/**
 * Error in a manually written file.
 *
 * @param file the name of the file
 * @param line the line number, starting at 1; 0 if unknown
 * @param field the path of the field, such as {@code listen.port}
 * @param message the description of the error and of the expected value
 */
public record Finding(String file, int line, String field, String message) {

  @Override
  public String toString() {
    return file + ":" + line + ": " + field + ": " + message;
  }
}
