/** Routing logic of a router: queues, offers, dispatch, answers, retries and drain. */
package org.almondslip.routing;
