/** Deployments and the generator of their settings. */
package org.almondslip.bench.deployment;
