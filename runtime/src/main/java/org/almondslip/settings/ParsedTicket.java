package org.almondslip.settings;

import org.almondslip.catalog.Ticket;
import org.almondslip.catalog.TicketSource;

/**
 * Ticket with the source positions of its fields.
 *
 * @param ticket the ticket
 * @param source the source positions of the fields
 */
public record ParsedTicket(Ticket ticket, TicketSource source) {}
