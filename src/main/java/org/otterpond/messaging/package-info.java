/**
 * Asynchronous messages: the edge accepts them from clients, replica groups store them by
 * partition, and the primary of a partition delivers them to workers.
 *
 * <p>Everything runs on the owner thread of its node. The package may depend on the data path
 * ({@code proxy}) and the packages below it.
 */
package org.otterpond.messaging;
