export { WeightOrders } from './weight-orders.js';
