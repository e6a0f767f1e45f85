package org.almondslip.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** Sends requests to the admin interface of a router. */
final class AdminClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

  /** Timeout of a request; the router itself abandons a ticket after about 5 s. */
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

  /** Lowest status code of a final response. */
  private static final int MIN_STATUS = 200;

  /** Highest status code (RFC 9110, section 15). */
  private static final int MAX_STATUS = 599;

  /** Lowest status code of an error. */
  private static final int STATUS_ERROR = 400;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();

  /** Address of the router as {@code ip:port}. */
  private final String address;

  private final String key;

  /**
   * Creates a client.
   *
   * @param address the address of the router as {@code ip:port}
   * @param key the operator key
   */
  AdminClient(String address, String key) {
    this.address = address;
    this.key = key;
  }

  /**
   * Response of the router.
   *
   * @param failed whether the document is a problem document
   * @param document the JSON document
   */
  record Response(boolean failed, JsonNode document) {}

  /**
   * Sends a request and waits for the response.
   *
   * @param request the request
   * @return the response
   * @throws CliException if the request cannot be sent, or no valid response is received
   */
  Response send(AdminRequest request) {
    try {
      HttpRequest httpRequest =
          HttpRequest.newBuilder(URI.create("http://" + address + "/admin/v1/" + request.path()))
              .timeout(REQUEST_TIMEOUT)
              .header("Authorization", "Bearer " + key)
              .method(request.method(), BodyPublishers.ofString(request.body()))
              .build();
      HttpResponse<String> response = client.send(httpRequest, BodyHandlers.ofString());
      if (response.statusCode() < MIN_STATUS || response.statusCode() > MAX_STATUS) {
        throw responseLost(request);
      }
      return new Response(response.statusCode() >= STATUS_ERROR, MAPPER.readTree(response.body()));
    } catch (IllegalArgumentException e) {
      throw new CliException(ExitCode.USAGE, "not a valid address or key: " + address);
    } catch (ConnectException | HttpConnectTimeoutException e) {
      throw new CliException(ExitCode.UNAVAILABLE, "no connection to " + address);
    } catch (JsonProcessingException e) {
      throw new CliException(ExitCode.FAILED, address + " is not an admin interface");
    } catch (IOException e) {
      throw responseLost(request);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw responseLost(request);
    }
  }

  /**
   * Creates the exception for a request that may have been sent but got no response.
   *
   * @param request the request
   * @return the exception, with an unknown outcome if the request applies a ticket
   */
  private CliException responseLost(AdminRequest request) {
    boolean appliesTicket = request.path().startsWith("tickets?");
    return new CliException(
        appliesTicket ? ExitCode.OUTCOME_UNKNOWN : ExitCode.UNAVAILABLE,
        "no response from " + address);
  }
}
