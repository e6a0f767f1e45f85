/** Plan of requests, open-loop load generator and checks of the answers. */
package org.almondslip.bench.load;
