package org.almondslip.settings;

import org.almondslip.catalog.Ticket;
import org.almondslip.catalog.TicketSource;

/**
 * A ticket with the places of its fields.
 *
 * @param ticket the ticket
 * @param source the places of its fields in the text
 */
public record ParsedTicket(Ticket ticket, TicketSource source) {}
